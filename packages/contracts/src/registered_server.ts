/** Backend servers as they register themselves on a platform. */
import type { ServerId, ServiceId, ZoneId } from "./ids.ts";

/** One start of a backend server; a later start is another server. */
export interface RegisteredServer {
  readonly server: ServerId;
  /** Unix time of its start in milliseconds: which life of the id it is. */
  readonly bornMs: number;
  readonly service: ServiceId;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  /** Requests that it processes at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it stays slow after its start. */
  readonly warmUpLeftMs: number;
}

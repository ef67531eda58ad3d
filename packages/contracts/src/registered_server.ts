/** Backend servers as registered on a platform. */
import type { ServerId, ServiceId, ZoneId } from "./ids.ts";

/** One incarnation of a backend server; a restart is another server. */
export interface RegisteredServer {
  readonly server: ServerId;
  /**
   * Unix time of its start in milliseconds, which identifies the incarnation.
   */
  readonly bornMs: number;
  readonly service: ServiceId;
  /** Undefined when the server registers none. */
  readonly softwareVersion?: string | undefined;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  /** Number of requests that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Milliseconds left of its slow start. */
  readonly warmUpLeftMs: number;
}

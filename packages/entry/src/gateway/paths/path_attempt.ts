/** One attempt of a request, by whichever way it gets to its server. */
import type * as contracts from "@guavatide/contracts";
import type { SendOptions } from "../../links/connection_pool.ts";
import type { AttemptResult } from "../../links/server_connection.ts";
import type { FrontRequest } from "../forwarding/front_request.ts";

/** The parts of a caller's request that a peer needs as well. */
export type RelayedRequest = Pick<FrontRequest, "host" | "key" | "caller">;

/** Options of {@link ServerPaths.send}. */
export interface PathSendOptions extends Omit<SendOptions, "onStarted"> {
  /** How long such a request usually takes. */
  readonly expectedMs: number;
  readonly isIdempotent: boolean;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly request: RelayedRequest;
  /**
   * Called when the path is lost under the request, or may be. True gives the
   * request up; otherwise its answer is still waited for.
   */
  readonly onPathLost: (isCertain: boolean) => boolean;
}

/** How an attempt ended, and the peer that sent it, if one did. */
export type PathResult = AttemptResult & { readonly via?: contracts.VmId };

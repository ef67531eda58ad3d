/**
 * The interface between the entry process and a platform: calls, and decoders
 * for the platform's names and formats. An adapter takes no decisions.
 */
import type * as contracts from "@guavatide/contracts";
import type { Result } from "neverthrow";
import type { AnswerDecoder } from "../links/answer_decoder.ts";

/** Name prefixes of the stored objects that the entry process watches. */
export interface StorePrefixes {
  readonly servers: string;
  readonly config: string;
  /** Name of the object that holds the configuration in force. */
  readonly configObject: string;
  /** One object for each evacuated availability zone. */
  readonly evacuations: string;
  /** Our own: one object for each request that has crashed several servers. */
  readonly poisonRequests: string;
}

/** Header names, in lower case, between callers, entry VMs and servers. */
export interface HeaderNames {
  readonly requestId: string;
  /** Milliseconds that the sender still waits. */
  readonly deadlineMs: string;
  /** Id of the only server that may run the request. */
  readonly expectedServer: string;
  readonly key: string;
}

/** Access of an entry process to one platform. */
export interface PlatformAdapter {
  readonly store: contracts.PlatformStore;
  readonly grants: contracts.GrantControl;
  readonly prefixes: StorePrefixes;
  readonly headers: HeaderNames;
  /** Path of the readiness probe of the platform's load balancer. */
  readonly readinessPath: string;
  readonly answerDecoder: AnswerDecoder;
  decodeConfig(
    text: string,
  ): Result<contracts.RouteConfig, contracts.DecodeError>;
  decodeServer(
    name: string,
    text: string,
  ): Result<contracts.RegisteredServer, contracts.DecodeError>;
  /** The availability zone in the name of an evacuation object. */
  decodeEvacuation(
    name: string,
  ): Result<contracts.ZoneId, contracts.DecodeError>;
  close(): Promise<void>;
}

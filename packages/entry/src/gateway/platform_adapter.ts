/**
 * What a platform's adapter gives to the entry process: calls and decoders for
 * the platform's names and formats. It takes no decisions.
 */
import type * as contracts from "@guavatide/contracts";
import type { Result } from "neverthrow";
import type { AnswerDecoder } from "../links/answer_decoder.ts";

/** Why an object or a settings file could not be read. */
export interface DecodeError {
  /** Field that is missing or of another type. */
  readonly field: string;
  readonly message: string;
}

/** Kinds of objects in the platform's store that the entry process watches. */
export interface StorePrefixes {
  readonly servers: string;
  readonly config: string;
  /** Name of the object that holds the configuration in force. */
  readonly configObject: string;
  /** An object for each availability zone that is evacuated. */
  readonly evacuations: string;
}

/** Names of headers, in lower case, between callers, entry VMs and servers. */
export interface HeaderNames {
  readonly requestId: string;
  /** Milliseconds that the sender still waits. */
  readonly deadlineMs: string;
  /** Id of the server that alone may run the request. */
  readonly expectedServer: string;
  readonly key: string;
}

/** One platform, as an entry process meets it. */
export interface PlatformAdapter {
  readonly store: contracts.PlatformStore;
  readonly grants: contracts.GrantControl;
  readonly prefixes: StorePrefixes;
  readonly headers: HeaderNames;
  /** Path at which the platform's balancer asks whether the VM is ready. */
  readonly readinessPath: string;
  readonly answerDecoder: AnswerDecoder;
  decodeConfig(text: string): Result<contracts.RouteConfig, DecodeError>;
  decodeServer(
    name: string,
    text: string,
  ): Result<contracts.RegisteredServer, DecodeError>;
  /** The availability zone that an evacuation's name is about. */
  decodeEvacuation(name: string): Result<contracts.ZoneId, DecodeError>;
  close(): Promise<void>;
}

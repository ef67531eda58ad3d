/** What makes two requests the same to the backend servers that run them. */
import * as contracts from "@guavatide/contracts";
import * as crypto from "node:crypto";
import type { FrontRequest } from "../gateway/forwarding/front_request.ts";

/** Content and caller of a request; each attempt of its caller has the same. */
export interface RequestIdentity {
  /**
   * Hash of method, host, target, key and body. Cryptographic, so that no
   * caller can make another request that has the same.
   */
  readonly fingerprint: contracts.RequestFingerprint;
  readonly caller: contracts.CallerId;
}

/** The parts of a request that identify it. */
export interface IdentifiedRequest
  extends Pick<FrontRequest, "method" | "host" | "target" | "body" | "caller"> {
  readonly key: number | string | undefined;
}

const FINGERPRINT_DIGITS = 32;
const UNKNOWN_CALLER = "unknown" as contracts.CallerId;

/** Returns the identity of a request. */
export function identifyRequest(
  { method, host, target, key, body, caller }: IdentifiedRequest,
): RequestIdentity {
  const hash = crypto.createHash("sha256")
    // JSON keeps the parts apart: no part can continue into the next.
    .update(JSON.stringify([method, host, target, key]));
  if (body !== undefined) hash.update(body);
  const fingerprint = digestOf(hash) as contracts.RequestFingerprint;
  return { fingerprint, caller: callerIdOf(caller) };
}

/** A caller may name itself anything; a name that is no id is hashed. */
function callerIdOf(name: string): contracts.CallerId {
  if (name === "") return UNKNOWN_CALLER;
  const parsed = contracts.callerIdSchema.safeParse(name);
  if (parsed.success) return parsed.data;
  const hash = crypto.createHash("sha256").update(name);
  return digestOf(hash) as contracts.CallerId;
}

function digestOf(hash: crypto.Hash): string {
  return hash.digest("hex").slice(0, FINGERPRINT_DIGITS);
}

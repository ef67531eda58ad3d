/** Authentication and authorization of operators at the administration API. */
import type * as contracts from "@guavatide/contracts";
import * as crypto from "node:crypto";
import type {
  AdministrationRight,
  AdministrationToken,
} from "../settings/mod.ts";

/** An authenticated operator with the rights of its bearer token. */
export class Operator {
  readonly name: string;
  readonly #partners: AdministrationToken["partners"];
  readonly #rights: ReadonlySet<AdministrationRight>;

  constructor(token: AdministrationToken) {
    this.name = token.operator;
    this.#partners = token.partners;
    this.#rights = new Set(token.rights);
  }

  hasRight(right: AdministrationRight): boolean {
    return this.#rights.has(right);
  }

  /** Whether the token covers all partners. */
  get canAccessAllPartners(): boolean {
    return this.#partners === "*";
  }

  /** Whether the token covers this partner. */
  canAccessPartner(partner: contracts.PartnerId): boolean {
    return this.#partners === "*" || this.#partners.includes(partner);
  }

  /**
   * Whether the operator may create, replace or delete the object. A cost
   * share may be changed for any partner that bears a part of it. A place is
   * shared by all partners, so only a token for all partners may change it.
   */
  mayChange(object: contracts.ConfigObject): boolean {
    if (this.canAccessAllPartners) return true;
    switch (object.kind) {
      case "place":
        return false;
      case "partner":
        return this.canAccessPartner(object.name);
      case "service":
        return this.canAccessPartner(object.partner);
      case "cost-share":
        return object.shares.some((share) =>
          this.canAccessPartner(share.partner)
        );
    }
  }
}

interface HashedToken {
  readonly digest: Buffer;
  readonly operator: Operator;
}

const BEARER_PREFIX = "Bearer ";

/** Authenticates operators by their bearer tokens. */
export class OperatorAuthenticator {
  readonly #tokens: readonly HashedToken[];

  constructor(tokens: readonly AdministrationToken[]) {
    this.#tokens = tokens.map((token) => ({
      digest: Buffer.from(token.tokenSha256, "hex"),
      operator: new Operator(token),
    }));
  }

  /**
   * Returns the operator that an `Authorization` header identifies, or
   * undefined when its token is unknown. Compares the token's digest with every
   * configured digest in constant time and doesn't stop at a match, so response
   * times reveal neither how close a guess was nor how many tokens exist.
   */
  authenticate(header: string | undefined): Operator | undefined {
    const token = header?.startsWith(BEARER_PREFIX)
      ? header.slice(BEARER_PREFIX.length)
      : "";
    const digest = crypto.createHash("sha256").update(token).digest();
    let found: Operator | undefined;
    for (const known of this.#tokens) {
      if (crypto.timingSafeEqual(known.digest, digest)) found = known.operator;
    }
    return found;
  }
}

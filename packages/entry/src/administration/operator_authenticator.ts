/** Who may do what at the administration API. */
import type * as contracts from "@guavatide/contracts";
import * as crypto from "node:crypto";
import type {
  AdministrationRight,
  AdministrationToken,
} from "../settings/mod.ts";

/** An operator as told by the bearer token. */
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

  /** Whether the operator acts for all partners. */
  get canAccessAllPartners(): boolean {
    return this.#partners === "*";
  }

  /** Whether the operator acts for this partner. */
  canAccessPartner(partner: contracts.PartnerId): boolean {
    return this.#partners === "*" || this.#partners.includes(partner);
  }

  /**
   * Whether the object lies within the operator's partners. A cost share
   * belongs to every partner that bears a part; a place to all of them, so
   * only an operator for all partners may change it.
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

/** Tells operators by their bearer tokens. */
export class OperatorAuthenticator {
  readonly #tokens: readonly HashedToken[];

  constructor(tokens: readonly AdministrationToken[]) {
    this.#tokens = tokens.map((token) => ({
      digest: Buffer.from(token.tokenSha256, "hex"),
      operator: new Operator(token),
    }));
  }

  /**
   * The operator of an `Authorization` header, if any. Every known digest is
   * compared in constant time and none ends the search, so that the time of a
   * refusal tells neither how near a guess came nor how many tokens there are.
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

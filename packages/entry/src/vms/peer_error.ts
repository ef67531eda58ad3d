/** What can go wrong in a call to another entry VM. */
export type PeerError =
  /** No connection was made; the peer saw nothing. */
  | { readonly kind: "unreachable"; readonly message: string }
  /** The peer may have seen the call; no answer came in time. */
  | { readonly kind: "timeout"; readonly message: string }
  /** The peer refused the secret or the method, or failed inside it. */
  | { readonly kind: "refused"; readonly message: string }
  /** The answer did not have the declared shape. */
  | { readonly kind: "bad-answer"; readonly message: string };

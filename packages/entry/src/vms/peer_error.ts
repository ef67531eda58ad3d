/** Why a call to another entry VM failed. */
export type PeerError =
  /** No connection was established, so the peer received nothing. */
  | { readonly kind: "unreachable"; readonly message: string }
  /** No reply arrived in time. The peer may have received the call. */
  | { readonly kind: "timeout"; readonly message: string }
  /** The peer refused the secret or the method, or the method failed. */
  | { readonly kind: "refused"; readonly message: string }
  /** The reply didn't match its schema. */
  | { readonly kind: "bad-answer"; readonly message: string };

/** What a backend server tells of its load with each answer. */

/** Load of a server at the moment of an answer, by its own word. */
export interface ServerReport {
  /** Requests that it works on. */
  readonly running: number;
  /** Requests in its queue. */
  readonly waiting: number;
  /** Requests that it can work on at once. */
  readonly slots: number;
  /**
   * How much longer work takes on its VM than usual, 1 for as usual; changes
   * many times a second. Undefined when the server does not tell it.
   */
  readonly slowdownRatio: number | undefined;
}

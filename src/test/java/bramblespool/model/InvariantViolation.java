package bramblespool.model;

/** An invariant does not hold. */
final class InvariantViolation extends RuntimeException {
    final String invariant;

    InvariantViolation(String invariant, String what) {
        super(invariant + ": " + what);
        this.invariant = invariant;
    }
}

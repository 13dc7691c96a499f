package bramblespool.model;

/** An invariant does not hold. */
final class Broken extends RuntimeException {
    final String invariant;

    Broken(String invariant, String what) {
        super(invariant + ": " + what);
        this.invariant = invariant;
    }
}

package bramblespool.coordination.register;

/**
 * The change function of a proposal: what it makes of a register's current value (CASPaxos, section "Protocol"). A null
 * value stands for an empty register.
 */
final class RegisterChange {
    private enum Kind {
        COMPARE_AND_SET,
        SET_IF_ABSENT,
        READ
    }

    private final Kind kind;
    private final String newValue;
    private final String expectedValue;

    private RegisterChange(Kind kind, String newValue, String expectedValue) {
        this.kind = kind;
        this.newValue = newValue;
        this.expectedValue = expectedValue;
    }

    /** Writes the new value where the register is empty, or holds that value already, or the expected one. */
    static RegisterChange compareAndSet(String newValue, String expectedValue) {
        return new RegisterChange(Kind.COMPARE_AND_SET, newValue, expectedValue);
    }

    /** Writes the new value where the register is empty, else the current one again. */
    static RegisterChange setIfAbsent(String newValue) {
        return new RegisterChange(Kind.SET_IF_ABSENT, newValue, null);
    }

    /** Writes the current value again: only then is it known to be chosen. */
    static RegisterChange read() {
        return new RegisterChange(Kind.READ, null, null);
    }

    /** The value to write into an empty register; null of a read. */
    String newValue() {
        return newValue;
    }

    /** Whether it has been made already in a register whose chosen value is this one, so that it needs no round. */
    boolean isDoneBy(String chosenValue) {
        return kind == Kind.COMPARE_AND_SET && newValue.equals(chosenValue);
    }

    /** Whether the change may not be made to a register of this value. */
    boolean conflictsWith(String currentValue) {
        return kind == Kind.COMPARE_AND_SET
                && currentValue != null
                && !currentValue.equals(newValue)
                && !currentValue.equals(expectedValue);
    }

    /** The value to write in place of one that it does not conflict with; null where the register stays empty. */
    String applyTo(String currentValue) {
        return currentValue == null || kind == Kind.COMPARE_AND_SET ? newValue : currentValue;
    }
}

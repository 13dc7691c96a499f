package bramblespool.coordination.controller;

/** What came of the operator's request to evacuate a zone, or to end that. */
public enum EvacuationOutcome {
    /** The zone is in the state that was asked for; the group has agreed on it. */
    COMMITTED,
    /** This controller lost the lead first. The request may take effect or not; the operator is to ask again. */
    LEADERSHIP_LOST
}

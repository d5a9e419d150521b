package mastdrift.membership;

/** What the failure of a call to the registry says about the registry. */
public enum CallFailure {
    /** This machine had no descriptor or port for the call, which says nothing about the registry. */
    LOCAL_ERROR,
    /** The call did not connect, or ended at once in another way than by a refusal: the registry does not serve. */
    UNREACHABLE,
    /** The registry refused the call at once: it is up, and has too many callers to take this one as well. */
    TURNED_AWAY,
    /**
     * The call was refused or closed after it had waited, or timed out without a response: the registry may be down, or have
     * too many callers.
     */
    UNANSWERED
}

package mastdrift.engine;

import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;

/** Hears of each request that a ledger takes, and of its final answer, on the loop's thread. It sees and changes nothing. */
public interface RequestListener {

    /** How a request ended; LEFT where its client went first and nothing more was owed. */
    enum End { SERVED, REFUSED, FAILED, LATE, LEFT }

    /** A request was taken; the call is whole until its end has been told. */
    void taken(RequestMessage call, RequestAttributes ask);

    /** An attempt of a request that has not ended yet ended at a host. */
    default void attemptEnded(RequestMessage call, String uid, Outcome outcome) { }

    /** Its end, exactly once; {@code why} is of a refusal, else null. */
    void ended(RequestMessage call, End end, Why why);
}

package mastdrift.engine;

/** What a front took from a client, in the form that the transports of its protocol send on. */
public interface RequestMessage {

    /** The request has ended: nothing of it will be sent any more. Called once. */
    void release();
}

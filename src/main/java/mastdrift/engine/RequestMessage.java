package mastdrift.engine;

/** A client's request, in the form that the transports of its protocol send on to hosts. */
public interface RequestMessage {

    /** Releases its buffers: the request has ended, and nothing of it will be sent any more. Called once. */
    void release();
}

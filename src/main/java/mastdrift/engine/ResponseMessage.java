package mastdrift.engine;

/**
 * A host's response, in the form that the fronts of its protocol send on to clients. It is valid until the call that
 * delivers it returns.
 */
public interface ResponseMessage {
}

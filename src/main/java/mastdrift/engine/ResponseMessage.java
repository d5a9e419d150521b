package mastdrift.engine;

/** What a host answered, in the form that the fronts of its protocol pass on. Valid until the call that brings it ends. */
public interface ResponseMessage {
}

package mastdrift.distribution;

/** Validates the meaning of a resource's value, by kind. */
@FunctionalInterface
public interface ValueCheck {

    /** Returns what is wrong with the value, with the place, the expected and the actual value; null if it is valid. */
    String problem(ResourceKind kind, String name, byte[] value);
}

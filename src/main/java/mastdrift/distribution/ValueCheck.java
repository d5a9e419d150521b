package mastdrift.distribution;

/** Says whether a value means something, by the kind of its resource. */
@FunctionalInterface
public interface ValueCheck {

    /** What is wrong with the value, with place, expected and found; null for nothing. */
    String problem(ResourceKind kind, String name, byte[] value);
}

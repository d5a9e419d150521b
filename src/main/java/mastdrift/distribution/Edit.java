package mastdrift.distribution;

/** One part of a change. {@code expectedVersion} is the version that the writer believes the resource to have: {@link #ANY} for whatever it has, {@link #NONE} for a resource
    that is not there. */
public sealed interface Edit {

    /** Whatever version the resource has, or none. */
    long ANY = -1;
    /** The resource is not there. */
    long NONE = 0;

    /** Of the resource. */
    ResourceKind kind();

    /** Of the resource. */
    String name();

    /** The version that it is expected to have. */
    long expectedVersion();

    /** Puts a value in place, of a new resource or of one that is there. */
    record Upsert(ResourceKind kind, String name, byte[] value, long expectedVersion) implements Edit { }

    /** Takes a resource out; with {@link #ANY} one that isn't there is no fault. */
    record Delete(ResourceKind kind, String name, long expectedVersion) implements Edit { }
}

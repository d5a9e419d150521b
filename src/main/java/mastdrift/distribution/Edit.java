package mastdrift.distribution;

/**
 * One edit of a change. {@code expectedVersion} is a precondition (compare-and-set): the version that the resource must
 * have, {@link #ANY_VERSION} for any, {@link #NOT_PRESENT} if it must not exist.
 */
public sealed interface Edit {

    /** No precondition: the resource may have any version or not exist. */
    long ANY_VERSION = -1;
    /** The resource must not exist. */
    long NOT_PRESENT = 0;

    /** Kind of the resource. */
    ResourceKind kind();

    /** Name of the resource. */
    String name();

    /** Version that the resource must have, or {@link #ANY_VERSION} or {@link #NOT_PRESENT}. */
    long expectedVersion();

    /** Creates a resource or replaces its value. */
    record Upsert(ResourceKind kind, String name, byte[] value, long expectedVersion) implements Edit { }

    /** Deletes a resource; with {@link #ANY_VERSION}, deleting a resource that does not exist is not an error. */
    record Delete(ResourceKind kind, String name, long expectedVersion) implements Edit { }
}

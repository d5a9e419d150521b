package mastdrift.distribution;

import java.util.Arrays;

/**
 * A named item of configuration as it is in a table. Immutable: neither the supplier nor the reader of its value may
 * modify it. Kind and name are fields and not a key object to save memory, since there are several hundred thousand
 * resources.
 */
public final class Resource {

    /** Maximum length of a name. */
    public static final int MAX_NAME_CHARS = 128;
    /** Maximum size of a value. */
    public static final int MAX_VALUE_BYTES = 16 << 10;

    private final ResourceKind kind;
    private final String name;
    private final long version;
    private final byte[] value;

    /**
     * Creates a resource. {@code version} is the number of the revision that last changed it; {@code value} is JSON in
     * UTF-8, whose schema depends on the kind. Throws IllegalArgumentException for a name or value beyond the limits.
     */
    public Resource(ResourceKind kind, String name, long version, byte[] value) {
        if (name.isEmpty() || name.length() > MAX_NAME_CHARS) {
            throw new IllegalArgumentException("name: expected 1 to " + MAX_NAME_CHARS + " characters, found " + name.length());
        }
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(kind + " " + name + ": expected a value of at most " + MAX_VALUE_BYTES + " bytes, found " + value.length);
        }
        this.kind = kind;
        this.name = name;
        this.version = version;
        this.value = value;
    }

    public ResourceKind kind() {
        return kind;
    }

    /** Name, unique among resources of the same kind. */
    public String name() {
        return name;
    }

    /** Number of the revision that last changed it. */
    public long version() {
        return version;
    }

    /** The value, not copied; callers must not modify it. */
    public byte[] value() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Resource that && kind == that.kind && version == that.version && name.equals(that.name) && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + kind.ordinal();
    }

    @Override
    public String toString() {
        return kind + " " + name + " at " + version + ", " + value.length + " bytes";
    }
}

package mastdrift.distribution;

import java.util.Arrays;

/** A named piece of configuration as it stands in a table. Immutable: whoever gives or takes its value doesn't change it. Fields and no key object, since there are some
    hundred thousand of them. */
public final class Resource {

    /** Characters of a name, at most. */
    public static final int NAME_MOST = 128;
    /** Bytes of a value, at most. */
    public static final int VALUE_MOST = 16 << 10;

    private final ResourceKind kind;
    private final String name;
    private final long version;
    private final byte[] value;

    /** {@code version} is the number of the revision that last changed it; {@code value} is UTF-8 text in JSON, whose meaning goes by the kind. Throws
        IllegalArgumentException for a name or value out of bounds. */
    public Resource(ResourceKind kind, String name, long version, byte[] value) {
        if (name.isEmpty() || name.length() > NAME_MOST) {
            throw new IllegalArgumentException("name: expected 1 to " + NAME_MOST + " characters, found " + name.length());
        }
        if (value.length > VALUE_MOST) {
            throw new IllegalArgumentException(kind + " " + name + ": expected a value of at most " + VALUE_MOST + " bytes, found " + value.length);
        }
        this.kind = kind;
        this.name = name;
        this.version = version;
        this.value = value;
    }

    /** What it is. */
    public ResourceKind kind() {
        return kind;
    }

    /** Unique among resources of its kind. */
    public String name() {
        return name;
    }

    /** Number of the revision that last changed it. */
    public long version() {
        return version;
    }

    /** Not to be changed. */
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

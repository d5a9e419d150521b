package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A packet (RFC 2865, 3): code, identifier, authenticator, and attributes in their order. Immutable; arrays are not copied.
 *
 * @param code what it is
 * @param identifier 0 to 255
 * @param authenticator 16 bytes
 * @param attributes in the order in which they came or are to be sent
 */
public record Packet(Code code, int identifier, byte[] authenticator, List<Attribute> attributes) {

    /** Bytes of the shortest packet: the header alone. */
    public static final int LEAST = 20;
    /** Bytes of the longest packet. */
    public static final int MOST = 4096;
    /** Bytes of an authenticator. */
    public static final int AUTHENTICATOR = 16;
    /** Where the authenticator begins. */
    static final int AUTHENTICATOR_AT = 4;

    /** Throws IllegalArgumentException for an identifier or authenticator that is none. */
    public Packet {
        if (identifier < 0 || identifier > 255 || authenticator.length != AUTHENTICATOR) {
            throw new IllegalArgumentException("expected an identifier of 0 to 255 and 16 bytes, found " + identifier + " and "
                    + authenticator.length + " bytes");
        }
        attributes = List.copyOf(attributes);
    }

    /** Reads a datagram. What is longer than its length field says is padding and cut off; what is shorter is refused, as is
        every attribute that doesn't fit (RFC 2865, 3 and 5; RFC 5080, 2.3.1). */
    public static Packet read(byte[] datagram) throws MalformedPacketException {
        if (datagram.length < LEAST) {
            throw new MalformedPacketException("expected at least " + LEAST + " bytes, found " + datagram.length);
        }
        int length = (datagram[2] & 0xFF) << 8 | datagram[3] & 0xFF;
        if (length < LEAST || length > MOST || length > datagram.length) {
            throw new MalformedPacketException("expected a length of " + LEAST + " to " + Math.min(MOST, datagram.length)
                    + ", found " + length);
        }
        Code code = Code.of(datagram[0] & 0xFF);
        if (code == null) {
            throw new MalformedPacketException("expected a known code, found " + (datagram[0] & 0xFF));
        }
        List<Attribute> attributes = new ArrayList<>();
        for (int at = LEAST; at < length; ) {
            int size = at + 1 < length ? datagram[at + 1] & 0xFF : 0;
            if (size < 2 || size > length - at) {
                throw new MalformedPacketException("expected an attribute of 2 to " + (length - at) + " bytes at " + at
                        + ", found " + size);
            }
            attributes.add(new Attribute(datagram[at] & 0xFF, Arrays.copyOfRange(datagram, at + 2, at + size)));
            at += size;
        }
        return new Packet(code, datagram[1] & 0xFF,
                Arrays.copyOfRange(datagram, AUTHENTICATOR_AT, AUTHENTICATOR_AT + AUTHENTICATOR), attributes);
    }

    /** Bytes that {@link #write} gives. */
    public int length() {
        int length = LEAST;
        for (Attribute attribute : attributes) {
            length += 2 + attribute.value().length;
        }
        return length;
    }

    /** As on the wire; throws IllegalArgumentException where it is longer than a packet may be. */
    public byte[] write() {
        int length = length();
        if (length > MOST) {
            throw new IllegalArgumentException("expected at most " + MOST + " bytes, found " + length);
        }
        byte[] bytes = new byte[length];
        bytes[0] = (byte) code.number();
        bytes[1] = (byte) identifier;
        bytes[2] = (byte) (length >> 8);
        bytes[3] = (byte) length;
        System.arraycopy(authenticator, 0, bytes, AUTHENTICATOR_AT, AUTHENTICATOR);
        int at = LEAST;
        for (Attribute attribute : attributes) {
            bytes[at] = (byte) attribute.type();
            bytes[at + 1] = (byte) (2 + attribute.value().length);
            System.arraycopy(attribute.value(), 0, bytes, at + 2, attribute.value().length);
            at += 2 + attribute.value().length;
        }
        return bytes;
    }

    /** The first value of a type, or null. */
    public byte[] first(int type) {
        for (Attribute attribute : attributes) {
            if (attribute.type() == type) {
                return attribute.value();
            }
        }
        return null;
    }

    /** How many attributes of a type there are. */
    public int count(int type) {
        int count = 0;
        for (Attribute attribute : attributes) {
            count += attribute.type() == type ? 1 : 0;
        }
        return count;
    }

    /** The same with other attributes. */
    public Packet with(List<Attribute> others) {
        return new Packet(code, identifier, authenticator, others);
    }

    /** By content. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Packet packet && code == packet.code && identifier == packet.identifier
                && Arrays.equals(authenticator, packet.authenticator) && attributes.equals(packet.attributes);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * code.hashCode() + identifier) + Arrays.hashCode(authenticator);
    }

    /** Without authenticator and values: they may be secret. */
    @Override
    public String toString() {
        return code + " " + identifier + " " + attributes;
    }
}

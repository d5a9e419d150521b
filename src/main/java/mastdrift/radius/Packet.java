package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A RADIUS packet (RFC 2865, 3). Immutable; arrays are not copied.
 *
 * @param code the packet type
 * @param identifier 0 to 255
 * @param authenticator 16 bytes
 * @param attributes in the order in which they were received or are to be sent
 */
public record Packet(Code code, int identifier, byte[] authenticator, List<Attribute> attributes) {

    /** Length of the shortest packet: the header alone. */
    public static final int MIN_BYTES = 20;
    /** Length of the longest packet. */
    public static final int MAX_BYTES = 4096;
    /** Length of an authenticator. */
    public static final int AUTHENTICATOR_BYTES = 16;
    /** Offset of the authenticator in the packet. */
    static final int AUTHENTICATOR_OFFSET = 4;

    /** Throws IllegalArgumentException if the identifier is out of range or the authenticator has a wrong length. */
    public Packet {
        if (identifier < 0 || identifier > 255 || authenticator.length != AUTHENTICATOR_BYTES) {
            throw new IllegalArgumentException("expected an identifier of 0 to 255 and 16 bytes, found " + identifier
                    + " and " + authenticator.length + " bytes");
        }
        attributes = List.copyOf(attributes);
    }

    /**
     * Decodes a datagram. Bytes beyond the packet's length field are padding and are ignored; a datagram shorter than
     * its length field, or with an attribute that does not fit, is rejected (RFC 2865, 3 and 5; RFC 5080, 2.3.1).
     */
    public static Packet decode(byte[] datagram) throws MalformedPacketException {
        if (datagram.length < MIN_BYTES) {
            throw new MalformedPacketException("expected at least " + MIN_BYTES + " bytes, found " + datagram.length);
        }
        int length = (datagram[2] & 0xFF) << 8 | datagram[3] & 0xFF;
        if (length < MIN_BYTES || length > MAX_BYTES || length > datagram.length) {
            throw new MalformedPacketException("expected a length of " + MIN_BYTES + " to "
                    + Math.min(MAX_BYTES, datagram.length) + ", found " + length);
        }
        Code code = Code.fromNumber(datagram[0] & 0xFF);
        if (code == null) {
            throw new MalformedPacketException("expected a known code, found " + (datagram[0] & 0xFF));
        }
        List<Attribute> attributes = new ArrayList<>();
        for (int offset = MIN_BYTES; offset < length; ) {
            int size = offset + 1 < length ? datagram[offset + 1] & 0xFF : 0;
            if (size < 2 || size > length - offset) {
                throw new MalformedPacketException("expected an attribute of 2 to " + (length - offset) + " bytes at "
                        + offset + ", found " + size);
            }
            attributes.add(new Attribute(datagram[offset] & 0xFF,
                    Arrays.copyOfRange(datagram, offset + 2, offset + size)));
            offset += size;
        }
        return new Packet(code, datagram[1] & 0xFF,
                Arrays.copyOfRange(datagram, AUTHENTICATOR_OFFSET, AUTHENTICATOR_OFFSET + AUTHENTICATOR_BYTES),
                attributes);
    }

    /** Length of the encoded packet in bytes. */
    public int length() {
        int length = MIN_BYTES;
        for (Attribute attribute : attributes) {
            length += 2 + attribute.value().length;
        }
        return length;
    }

    /** Encodes the packet. Throws IllegalArgumentException if it exceeds the maximum length. */
    public byte[] encode() {
        int length = length();
        if (length > MAX_BYTES) {
            throw new IllegalArgumentException("expected at most " + MAX_BYTES + " bytes, found " + length);
        }
        byte[] bytes = new byte[length];
        bytes[0] = (byte) code.number();
        bytes[1] = (byte) identifier;
        bytes[2] = (byte) (length >> 8);
        bytes[3] = (byte) length;
        System.arraycopy(authenticator, 0, bytes, AUTHENTICATOR_OFFSET, AUTHENTICATOR_BYTES);
        int offset = MIN_BYTES;
        for (Attribute attribute : attributes) {
            bytes[offset] = (byte) attribute.type();
            bytes[offset + 1] = (byte) (2 + attribute.value().length);
            System.arraycopy(attribute.value(), 0, bytes, offset + 2, attribute.value().length);
            offset += 2 + attribute.value().length;
        }
        return bytes;
    }

    /** The value of the first attribute of a type, or null. */
    public byte[] firstValue(int type) {
        for (Attribute attribute : attributes) {
            if (attribute.type() == type) {
                return attribute.value();
            }
        }
        return null;
    }

    /** Number of attributes of a type. */
    public int count(int type) {
        int count = 0;
        for (Attribute attribute : attributes) {
            count += attribute.type() == type ? 1 : 0;
        }
        return count;
    }

    /** A copy of this packet with other attributes. */
    public Packet withAttributes(List<Attribute> newAttributes) {
        return new Packet(code, identifier, authenticator, newAttributes);
    }

    /** Compares by content. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Packet packet && code == packet.code && identifier == packet.identifier
                && Arrays.equals(authenticator, packet.authenticator) && attributes.equals(packet.attributes);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * code.hashCode() + identifier) + Arrays.hashCode(authenticator);
    }

    /** Omits the authenticator and attribute values, since they may be secret. */
    @Override
    public String toString() {
        return code + " " + identifier + " " + attributes;
    }
}

package mastdrift.settings;

import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A range of IPv4 or IPv6 addresses that share a prefix (CIDR, RFC 4632, 3.1).
 *
 * @param address its first address, 4 or 16 bytes
 * @param prefixLength the number of leading bits that all addresses share
 */
public record AddressRange(byte[] address, int prefixLength) {

    private static final Pattern IPV4_CIDR_PATTERN = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3})/(\\d{1,2})");

    /** Throws IllegalArgumentException if the prefix length is negative or exceeds the address's length. */
    public AddressRange {
        if (prefixLength < 0 || prefixLength > 8 * address.length) {
            throw new IllegalArgumentException("expected a prefix of 0 to " + 8 * address.length + ", found "
                    + prefixLength);
        }
    }

    /** Parses IPv4 CIDR notation, {@code 10.1.0.0/16}; throws IllegalArgumentException for anything else. */
    public static AddressRange parse(String text) {
        Matcher matcher = IPV4_CIDR_PATTERN.matcher(text);
        if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= 32) {
            int[] parts = Arrays.stream(matcher.group(1).split("\\.")).mapToInt(Integer::parseInt).toArray();
            if (Arrays.stream(parts).allMatch(part -> part <= 255)) {
                return new AddressRange(new byte[] {(byte) parts[0], (byte) parts[1], (byte) parts[2], (byte) parts[3]},
                        Integer.parseInt(matcher.group(2)));
            }
        }
        throw new IllegalArgumentException("expected ADDRESS/PREFIX in digits, found \"" + text + "\"");
    }

    /** Whether the range contains an address; false for an address of the other IP version. */
    public boolean contains(byte[] other) {
        if (address.length != other.length) {
            return false;
        }
        int wholeBytes = prefixLength / 8;
        int remainingBits = prefixLength % 8;
        return Arrays.equals(address, 0, wholeBytes, other, 0, wholeBytes)
                && (remainingBits == 0 || ((address[wholeBytes] ^ other[wholeBytes]) & 0xFF) >> 8 - remainingBits == 0);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AddressRange range && prefixLength == range.prefixLength
                && Arrays.equals(address, range.address);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(address) + prefixLength;
    }
}

package mastdrift.settings;

import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A range of IP addresses: those that begin alike (RFC 4632, 3.1).
 *
 * @param address its first, 4 or 16 bytes
 * @param prefix the bits of it that count
 */
public record AddressRange(byte[] address, int prefix) {

    private static final Pattern FORM = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3})/(\\d{1,2})");

    /** Throws IllegalArgumentException for a prefix that the address can't have. */
    public AddressRange {
        if (prefix < 0 || prefix > 8 * address.length) {
            throw new IllegalArgumentException("expected a prefix of 0 to " + 8 * address.length + ", found " + prefix);
        }
    }

    /** Reads {@code 10.1.0.0/16}; throws IllegalArgumentException for anything else. */
    public static AddressRange parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= 32) {
            int[] parts = Arrays.stream(matcher.group(1).split("\\.")).mapToInt(Integer::parseInt).toArray();
            if (Arrays.stream(parts).allMatch(part -> part <= 255)) {
                return new AddressRange(new byte[] {(byte) parts[0], (byte) parts[1], (byte) parts[2], (byte) parts[3]},
                        Integer.parseInt(matcher.group(2)));
            }
        }
        throw new IllegalArgumentException("expected ADDRESS/PREFIX in digits, found \"" + text + "\"");
    }

    /** Whether it holds an address; those of another length it doesn't. */
    public boolean holds(byte[] other) {
        if (address.length != other.length) {
            return false;
        }
        int whole = prefix / 8;
        int rest = prefix % 8;
        return Arrays.equals(address, 0, whole, other, 0, whole)
                && (rest == 0 || ((address[whole] ^ other[whole]) & 0xFF) >> 8 - rest == 0);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AddressRange range && prefix == range.prefix && Arrays.equals(address, range.address);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(address) + prefix;
    }
}

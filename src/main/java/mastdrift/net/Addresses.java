package mastdrift.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses with IP literals; no names are resolved. */
public final class Addresses {

    private Addresses() { }

    /**
     * Parses an address and port, {@code 127.0.0.1:80} or {@code [::1]:80}; throws IllegalArgumentException for
     * anything else.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("expected address:port, not " + text, e);
        }
        throw new IllegalArgumentException("expected address:port, not " + text);
    }

    /** Formats an address such that {@link #parse} reads it. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}

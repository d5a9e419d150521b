package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Reads requests and takes none that another reader might read differently: what is ambiguous here may hide a second
 * request there. Whatever it refuses is handed on as a message that failed, to be answered with 400, or with 501 for
 * {@link Unsupported}, and a close. By sections of RFC 9112, beyond what Netty's decoder refuses by itself:
 *
 * <ul>
 * <li>2.3: the version is HTTP/1.1 or HTTP/1.0.
 * <li>3: method, target and version are parted by one space each, with none before or behind; a server may be lenient here
 * and another one is not.
 * <li>3.2, 3.2.1: the target is in origin-form; others name a host that may differ from Host.
 * <li>3.2: one Host, with no more than a host and a port in it; HTTP/1.0 may have none.
 * <li>5.2: no line folding.
 * <li>6.1: the transfer coding is chunked alone, once, in one field; 501 for codings that are not undone here, 400 where
 * chunked is not the last or comes twice. None with HTTP/1.0, none beside Content-Length (6.3).
 * </ul>
 *
 * <p>Refused by Netty: a bare LF or CR (2.2), white space before a colon (5.1), control characters in a field (5.5), a length
 * that is no number or comes twice (6.3), chunk sizes that are none (7.1).
 */
final class StrictDecoder extends HttpRequestDecoder {

    /** A transfer coding that this program doesn't undo: 501. */
    static final class Unsupported extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        Unsupported(String coding) {
            super("transfer coding " + coding);
        }
    }

    private static final boolean[] HOST = new boolean['~' + 1];

    static {
        for (char c = '!'; c <= '~'; c++) {
            HOST[c] = "/?#@,\\\"<>".indexOf(c) < 0;
        }
    }

    private boolean inHead = true;
    private boolean begun;  // the request line has been read
    private boolean folded;
    private int wordEnd;

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (inHead && !folded) {
            folded = folds(buffer);
        }
        super.decode(context, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inHead = true;
            begun = false;
            folded = false;
        }
    }

    /** Whether a line of the head, but for the first, begins with white space. Whole lines are taken off the buffer as they
        are read, so that it begins with a line. */
    private boolean folds(ByteBuf buffer) {
        boolean first = !begun;
        int end = buffer.writerIndex();
        for (int at = buffer.readerIndex(); at < end; ) {
            byte begin = buffer.getByte(at);
            if (!first && (begin == ' ' || begin == '\t')) {
                return true;
            }
            int feed = buffer.indexOf(at, end, HttpConstants.LF);
            boolean empty = feed == at || feed == at + 1 && begin == HttpConstants.CR;
            if (feed < 0 || empty && !first) {
                return false;
            }
            first &= empty;  // empty lines may come ahead of a request
            at = feed + 1;
        }
        return false;
    }

    /** Whether nothing of a request is waiting for its rest. */
    boolean isEmpty() {
        return inHead && !begun && actualReadableBytes() == 0;
    }

    // ---- the request line: the words' places tell what stands between them

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        require(start == 0, "white space ahead of the method");
        wordEnd = start + length;
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        afterOneSpace(line, start);
        wordEnd = start + length;
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        afterOneSpace(line, start);
        String version = super.splitThirdWordInitialLine(line, start, length);
        require(version.equals("HTTP/1.1") || version.equals("HTTP/1.0"), "another version than HTTP/1.1 or HTTP/1.0");
        return version;
    }

    private void afterOneSpace(byte[] line, int start) {
        require(start == wordEnd + 1 && line[wordEnd] == ' ', "other than one space in the request line");
    }

    @Override
    protected HttpMessage createMessage(String[] line) throws Exception {
        begun = true;
        return super.createMessage(line);
    }

    // ---- the head as a whole

    /** Asked once a head is whole, before anything is done about a body. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        require(!folded, "a folded line");
        boolean current = message.protocolVersion().equals(HttpVersion.HTTP_1_1);
        require(((HttpRequest) message).uri().startsWith("/"), "a target that is no path");
        host(message.headers().getAll(HttpHeaderNames.HOST), current);
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            require(current, "a transfer coding with HTTP/1.0");
            require(!message.headers().contains(HttpHeaderNames.CONTENT_LENGTH), "a length beside a transfer coding");
            coding(String.join(",", codings));
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void host(List<String> hosts, boolean current) {
        require(hosts.size() == 1 || !current && hosts.isEmpty(), "other than one Host");
        String host = hosts.isEmpty() ? "" : hosts.get(0);
        for (int i = 0; i < host.length(); i++) {
            char c = host.charAt(i);
            require(c < HOST.length && HOST[c], "a Host that is none");
        }
    }

    private static void coding(String codings) {
        if (HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings)) {
            return;
        }
        String[] each = codings.split(",", -1);
        for (int i = 0; i < each.length; i++) {
            String coding = each[i].strip();
            boolean chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
            require(!chunked || i == each.length - 1, "chunked that is not the last coding");
            require(!coding.isEmpty(), "a transfer coding that is none");
            if (!chunked) {
                throw new Unsupported(coding);
            }
        }
    }

    private static void require(boolean kept, String found) {
        if (!kept) {
            throw new IllegalArgumentException("found " + found);
        }
    }
}

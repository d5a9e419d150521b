package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests and rejects any that another HTTP implementation might parse differently, since such a request could
 * smuggle a second one past one of the two. A rejected request is passed on as a failed message, to be answered with
 * 400, or with 501 for {@link UnsupportedTransferCodingException}, and the connection is closed. Checked in addition to
 * what Netty's decoder rejects, by sections of RFC 9112:
 * <ul>
 * <li>2.3: the version is HTTP/1.1 or HTTP/1.0.
 * <li>3: method, target and version are separated by exactly one space each, with no white space before or after them;
 * a server may be lenient here, and another may not be.
 * <li>3.2, 3.2.1: the target is in origin-form; the other forms name a host that may differ from Host.
 * <li>3.2: there is exactly one Host field, which contains only a host and a port; HTTP/1.0 may have none.
 * <li>5.2: no line folding.
 * <li>6.1: the only transfer coding is chunked, given once, in one field. 501 for codings that are not decoded here;
 * 400 if chunked is not the last coding or is given twice. No transfer coding with HTTP/1.0, and none together with
 * Content-Length (6.3).
 * </ul>
 * <p>Rejected by Netty: a bare LF or CR (2.2), white space before a colon (5.1), control characters in a field (5.5), a
 * Content-Length that is not a number or is given twice (6.3), invalid chunk sizes (7.1).
 */
final class StrictDecoder extends HttpRequestDecoder {

    /** A transfer coding that is not decoded here: answered with 501. */
    static final class UnsupportedTransferCodingException extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        UnsupportedTransferCodingException(String coding) {
            super("unsupported transfer coding " + coding);
        }
    }

    /** Header fields of a request, and fields of its trailer, each at most; a client's own fields are a few. */
    static final int MAX_FIELDS = 100;

    /** A head or trailer with more fields than are read: answered with 431 (RFC 6585, section 5). */
    static final class TooManyFieldsException extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        TooManyFieldsException() {
            super("invalid request: expected " + MAX_FIELDS + " header fields at most");
        }
    }

    // By ASCII code, whether a character is allowed in a Host field.
    private static final boolean[] HOST_CHARACTERS = new boolean['~' + 1];

    static {
        for (char c = '!'; c <= '~'; c++) {
            HOST_CHARACTERS[c] = "/?#@,\\\"<>".indexOf(c) < 0;
        }
    }

    private final WorkMeter meter;
    private boolean blocked;  // input is left undecoded, since the meter allowed no more
    private int fields;  // of the current head, or of the current trailer
    private boolean inHead = true;
    private boolean requestLineRead;
    private boolean lineFolded;
    private int previousWordEnd;

    StrictDecoder(WorkMeter meter) {
        this.meter = meter;
    }

    /** Decodes input that was left undecoded, as far as the meter allows. */
    void resume(ChannelHandlerContext context) throws Exception {
        if (blocked) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Whether input is left undecoded because the meter allowed no more. */
    boolean isBlocked() {
        return blocked;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        blocked = !meter.mayDecode();
        if (blocked) {
            return;  // consumes nothing, which ends the decoding of this input
        }
        int bytesBefore = buffer.readableBytes();
        int fieldsBefore = fields;
        if (inHead && !lineFolded) {
            lineFolded = hasFoldedLine(buffer);
        }
        super.decode(context, buffer, out);
        boolean requestCompleted = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        if (requestCompleted) {
            inHead = true;
            requestLineRead = false;
            lineFolded = false;
        }
        meter.decoded(bytesBefore - buffer.readableBytes(), Math.max(0, fields - fieldsBefore), requestCompleted);
        fields = requestCompleted ? 0 : fields;
    }

    /** As the superclass, but never asks for more input, which is read only where the connection's owner wants it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        discardSomeReadBytes();
        context.fireChannelReadComplete();
    }

    /**
     * Whether a line of the head other than the request line begins with white space. The decoder consumes whole lines,
     * so the buffer always begins at the start of a line.
     */
    private boolean hasFoldedLine(ByteBuf buffer) {
        boolean beforeRequestLine = !requestLineRead;
        int end = buffer.writerIndex();
        for (int lineStart = buffer.readerIndex(); lineStart < end; ) {
            byte firstByte = buffer.getByte(lineStart);
            if (!beforeRequestLine && (firstByte == ' ' || firstByte == '\t')) {
                return true;
            }
            int lineFeed = buffer.indexOf(lineStart, end, HttpConstants.LF);
            boolean emptyLine = lineFeed == lineStart || lineFeed == lineStart + 1 && firstByte == HttpConstants.CR;
            if (lineFeed < 0 || emptyLine && !beforeRequestLine) {
                return false;
            }
            beforeRequestLine &= emptyLine;  // empty lines may precede a request
            lineStart = lineFeed + 1;
        }
        return false;
    }

    /** Whether no part of a request has been received that is still incomplete. */
    boolean isBetweenRequests() {
        return inHead && !requestLineRead && actualReadableBytes() == 0;
    }

    // ---- request line: the positions of the words tell what separates them

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        require(start == 0, "white space before the method");
        previousWordEnd = start + length;
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        requireSingleSpace(line, start);
        previousWordEnd = start + length;
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        requireSingleSpace(line, start);
        String version = super.splitThirdWordInitialLine(line, start, length);
        require(version.equals("HTTP/1.1") || version.equals("HTTP/1.0"), "a version other than HTTP/1.1 and HTTP/1.0");
        return version;
    }

    private void requireSingleSpace(byte[] line, int start) {
        require(start == previousWordEnd + 1 && line[previousWordEnd] == ' ',
                "other than one space between words of the request line");
    }

    @Override
    protected HttpMessage createMessage(String[] line) throws Exception {
        requestLineRead = true;
        return super.createMessage(line);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (++fields > MAX_FIELDS) {
            throw new TooManyFieldsException();
        }
        return super.splitHeaderName(line, start, length);
    }

    // ---- the complete head

    /** Called once a head is complete, before its body is handled. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        fields = 0;
        require(!lineFolded, "a folded header line");
        boolean isHttp11 = message.protocolVersion().equals(HttpVersion.HTTP_1_1);
        require(((HttpRequest) message).uri().startsWith("/"), "a target that is not in origin-form");
        validateHost(message.headers().getAll(HttpHeaderNames.HOST), isHttp11);
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            require(isHttp11, "Transfer-Encoding with HTTP/1.0");
            require(!message.headers().contains(HttpHeaderNames.CONTENT_LENGTH),
                    "both Content-Length and Transfer-Encoding");
            validateTransferCoding(String.join(",", codings));
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void validateHost(List<String> hosts, boolean isHttp11) {
        require(hosts.size() == 1 || !isHttp11 && hosts.isEmpty(), "other than one Host field");
        String host = hosts.isEmpty() ? "" : hosts.get(0);
        for (int i = 0; i < host.length(); i++) {
            char c = host.charAt(i);
            require(c < HOST_CHARACTERS.length && HOST_CHARACTERS[c], "an invalid character in Host");
        }
    }

    private static void validateTransferCoding(String codings) {
        if (HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings)) {
            return;
        }
        String[] each = codings.split(",", -1);
        for (int i = 0; i < each.length; i++) {
            String coding = each[i].strip();
            boolean chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
            require(!chunked || i == each.length - 1, "chunked not as the last transfer coding");
            require(!coding.isEmpty(), "an empty transfer coding");
            if (!chunked) {
                throw new UnsupportedTransferCodingException(coding);
            }
        }
    }

    private static void require(boolean valid, String problem) {
        if (!valid) {
            throw new IllegalArgumentException("invalid request: found " + problem);
        }
    }
}

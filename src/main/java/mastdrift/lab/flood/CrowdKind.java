package mastdrift.lab.flood;

import java.nio.charset.StandardCharsets;

/** In which state each client of a {@link Crowd} keeps its connection. */
public enum CrowdKind {
    /** Sends nothing. */
    SILENT("", 0),
    /** Sends a head in pieces of a few bytes. */
    SLOW_HEAD(Bytes.POST_HEAD.substring(0, Bytes.POST_HEAD.length() - 2) + FloodKind.SHORT_FIELDS, 7),
    /** Sends a large body in pieces of a few bytes. */
    SLOW_BODY(Bytes.POST_HEAD + Bytes.BODY, 16),
    /** Sends half of a large body, and stays. */
    HALF_BODY(Bytes.POST_HEAD + Bytes.BODY.substring(0, Bytes.BODY.length() / 2), Integer.MAX_VALUE),
    /** Sends all of a large body but its last byte, and stays. */
    BODY_WITHOUT_END(Bytes.POST_HEAD + Bytes.BODY.substring(1), Integer.MAX_VALUE),
    /** Sends a head of very many short fields that has no end, and stays. */
    MANY_FIELDS(Bytes.POST_HEAD.substring(0, Bytes.POST_HEAD.length() - 2) + FloodKind.SHORT_FIELDS, Integer.MAX_VALUE),
    /** Sends a head of as many fields, of some length, as are taken, but not its end, and stays. */
    LONG_HEAD(Bytes.POST_HEAD.substring(0, Bytes.POST_HEAD.length() - 2) + ("X-Field: " + "v".repeat(60) + "\r\n").repeat(90),
            Integer.MAX_VALUE),
    /** Sends a large body in pieces of some hundred bytes. */
    BODY_IN_PIECES(Bytes.POST_HEAD + Bytes.BODY, 700),
    /** Sends a whole request with many fields and half of the next one, and stays. */
    WHOLE_AND_HALF(Bytes.GET_HEAD.substring(0, Bytes.GET_HEAD.length() - 2) + Bytes.FIELDS + "\r\n" + Bytes.POST_HEAD
            + Bytes.BODY.substring(0, Bytes.BODY.length() / 2), Integer.MAX_VALUE),
    /** Sends eight requests with large bodies at once, and stays. */
    MANY_BODIES((Bytes.POST_HEAD + Bytes.BODY).repeat(8), Integer.MAX_VALUE),
    /** Sends eight requests with large bodies at once, and closes the connection. */
    MANY_BODIES_THEN_LEAVE((Bytes.POST_HEAD + Bytes.BODY).repeat(8), Integer.MAX_VALUE),
    /** Sends eight requests at once, and stays. */
    MANY_REQUESTS(Bytes.GET_HEAD.repeat(8), Integer.MAX_VALUE),
    /** Sends requests and reads none of the answers. */
    NEVER_READS(Bytes.GET_HEAD.repeat(8), Integer.MAX_VALUE),
    /** Likewise, where the answers are large. */
    NEVER_READS_LARGE(Bytes.GET_HEAD.repeat(8), Integer.MAX_VALUE),
    /** Sends a chunked body in chunks of one byte, and never its end. */
    TINY_CHUNKS(Bytes.POST_HEAD.replace("Content-Length: 65536", "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(20_000), 600);

    /** Parts of the messages. */
    private static final class Bytes {
        private static final String GET_HEAD = "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: @ID@\r\nX-Qos: safe\r\nX-Customer: tenant\r\n"
                + "X-Expires-In-Ms: 3000\r\n\r\n";
        private static final String POST_HEAD = GET_HEAD.replace("GET", "POST").replace("safe", "unsafe")
                .replace("\r\n\r\n", "\r\nContent-Length: 65536\r\n\r\n");
        private static final String FIELDS = "X-F: v\r\n".repeat(90);
        private static final String BODY = "x".repeat(1 << 16);
    }

    private final String text;
    private final int bytesPerWrite;

    CrowdKind(String text, int bytesPerWrite) {
        this.text = text;
        this.bytesPerWrite = bytesPerWrite;
    }

    /** All that a connection sends; {@code id} makes its requests' ids unlike those of others. */
    byte[] message(String id) {
        StringBuilder message = new StringBuilder(text);
        int number = 0;
        for (int at = message.indexOf("@ID@"); at >= 0; at = message.indexOf("@ID@")) {
            message.replace(at, at + "@ID@".length(), id + "." + number++);
        }
        return message.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** How many bytes are sent at a time. */
    int bytesPerWrite() {
        return bytesPerWrite;
    }

    /** Whether a connection closes once all has been sent. */
    boolean leaves() {
        return this == MANY_BODIES_THEN_LEAVE;
    }

    /** Bytes by which hosts' answers are to be longer than they usually are. */
    int answerPaddingBytes() {
        return this == NEVER_READS_LARGE ? 60_000 : 0;
    }

    /** Whether answers are read. */
    boolean reads() {
        return this != NEVER_READS && this != NEVER_READS_LARGE;
    }
}

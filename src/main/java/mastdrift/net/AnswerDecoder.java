package mastdrift.net;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/** Reads endpoints' answers; one whose length is told twice can't be told from a broken or a longer one. One whose length is not told ends with its connection
    (RFC 9112, section 6.3), where that is closed and not reset: {@link EndpointConnection} knows. */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean begun;

    @Override
    protected HttpMessage createMessage(String[] line) {
        begun = true;
        return super.createMessage(line);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean empty = super.isContentAlwaysEmpty(message);
        if (!empty && HttpUtil.isContentLengthSet(message) && HttpUtil.isTransferEncodingChunked(message)) {
            throw new IllegalArgumentException("an answer with two lengths");
        }
        return empty;
    }

    /** A line without a colon would pass for a header with no value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** The answer that had begun is whole. */
    void ended() {
        begun = false;
    }

    /** Whether an answer, or what comes in place of one, has begun and not ended. */
    boolean isMidway() {
        return begun || actualReadableBytes() > 0;
    }
}

package mastdrift.net;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/**
 * Decodes endpoints' answers. One with both a content length and chunked encoding is rejected, since it can't be told
 * from a broken or a longer one. One without a length ends when its connection closes (RFC 9112, section 6.3); whether
 * that was an orderly close or a reset is known to {@link EndpointConnection}.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean inProgress;

    @Override
    protected HttpMessage createMessage(String[] line) {
        inProgress = true;
        return super.createMessage(line);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean empty = super.isContentAlwaysEmpty(message);
        if (!empty && HttpUtil.isContentLengthSet(message) && HttpUtil.isTransferEncodingChunked(message)) {
            throw new IllegalArgumentException("answer has both Content-Length and Transfer-Encoding: chunked");
        }
        return empty;
    }

    /** Rejects a header line without a colon, which Netty would take for a header with an empty value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header line has no colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** The answer that had begun is complete. */
    void answerEnded() {
        inProgress = false;
    }

    /** Whether an answer, or unexpected data in its place, has begun and not ended. */
    boolean isInProgress() {
        return inProgress || actualReadableBytes() > 0;
    }
}

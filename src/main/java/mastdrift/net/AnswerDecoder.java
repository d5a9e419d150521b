package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes endpoints' answers. One with both a content length and chunked encoding is rejected, since it can't be told
 * from a broken or a longer one. One without a length ends when its connection closes (RFC 9112, section 6.3); whether
 * that was an orderly close or a reset is known to {@link EndpointConnection}.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    /** Header fields of an answer, and fields of its trailer, each at most. */
    private static final int MAX_FIELDS = 100;

    private final WorkMeter meter;
    private boolean blocked;  // input is left undecoded, since the meter allowed no more
    private boolean inProgress;
    private int fields;  // of the current head, or of the current trailer

    AnswerDecoder(WorkMeter meter) {
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
        super.decode(context, buffer, out);
        boolean completed = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        meter.decoded(bytesBefore - buffer.readableBytes(), Math.max(0, fields - fieldsBefore), completed);
        fields = completed ? 0 : fields;
    }

    @Override
    protected HttpMessage createMessage(String[] line) {
        inProgress = true;
        return super.createMessage(line);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        fields = 0;
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
        if (++fields > MAX_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields");
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

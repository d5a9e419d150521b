package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Creates HTTP messages whose header fields are not validated again: the names are constants of this program, and the
 * values are its own or have passed a decoder, which rejects what is not allowed in a field (RFC 9110, section 5.5).
 */
final class UncheckedHeaders {

    private static final DefaultHttpHeadersFactory HEADERS_FACTORY = DefaultHttpHeadersFactory.headersFactory()
            .withValidation(false);

    private UncheckedHeaders() { }

    static FullHttpResponse newResponse(HttpResponseStatus status, ByteBuf body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, HEADERS_FACTORY.newHeaders(),
                EmptyHttpHeaders.INSTANCE);
    }

    static FullHttpRequest newRequest(HttpMethod method, String uri, ByteBuf body) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, body, HEADERS_FACTORY.newHeaders(),
                EmptyHttpHeaders.INSTANCE);
    }
}

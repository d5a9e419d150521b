package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import mastdrift.engine.RequestMessage;

/** A client's request as it came; holds one reference to it. */
record HttpCall(FullHttpRequest message) implements RequestMessage {

    @Override
    public void release() {
        message.release();
    }
}

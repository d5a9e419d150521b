package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import mastdrift.engine.RequestMessage;

/** A client's request as it was received; owns one reference to the message. */
record HttpCall(FullHttpRequest message) implements RequestMessage {

    @Override
    public void release() {
        message.release();
    }
}

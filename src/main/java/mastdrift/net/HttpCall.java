package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import mastdrift.engine.Call;

/** A client's request as it was received; owns one reference to the message. */
record HttpCall(FullHttpRequest message) implements Call {

    @Override
    public void release() {
        message.release();
    }
}

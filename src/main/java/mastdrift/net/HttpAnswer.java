package mastdrift.net;

import io.netty.handler.codec.http.FullHttpResponse;
import mastdrift.engine.ResponseMessage;

/** A host's answer as received; the connection that read it releases it. */
record HttpAnswer(FullHttpResponse message) implements ResponseMessage { }

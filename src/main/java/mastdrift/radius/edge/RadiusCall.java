package mastdrift.radius.edge;

import mastdrift.engine.RequestMessage;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Packet;

/** A client's request as it came, with the secret of its hop; {@code onlyAt} is the uid of the server that holds its
    conversation, or null. */
record RadiusCall(Packet request, Authenticators secret, String onlyAt) implements RequestMessage {

    @Override
    public void release() { }
}

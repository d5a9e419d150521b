package mastdrift.radius.edge;

import mastdrift.engine.RequestMessage;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Packet;

/**
 * A client's request as received, with the authenticators of the client's hop. {@code requiredServerUid} is the uid of
 * the server that holds the request's conversation, or null if any server may answer it.
 */
record RadiusRequestMessage(Packet request, Authenticators authenticators, String requiredServerUid) implements RequestMessage {

    @Override
    public void release() { }
}

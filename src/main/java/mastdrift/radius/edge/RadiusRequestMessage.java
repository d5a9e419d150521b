package mastdrift.radius.edge;

import mastdrift.engine.Call;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Packet;

/** A client's request as it came, with the secret of its hop; {@code onlyAt} is the uid of the server that holds its
    conversation, or null. */
record RadiusRequestMessage(Packet request, Authenticators secret, String onlyAt) implements Call {

    @Override
    public void release() { }
}

package mastdrift.radius.edge;

import mastdrift.engine.Call;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Packet;

/** A client's request as it came, with the secret of its hop. */
record RadiusCall(Packet request, Authenticators secret) implements Call {

    @Override
    public void release() { }
}

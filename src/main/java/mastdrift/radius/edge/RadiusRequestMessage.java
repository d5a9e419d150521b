package mastdrift.radius.edge;

import java.util.function.Consumer;
import mastdrift.engine.RequestMessage;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Packet;
import mastdrift.radius.ServerInstance;

/**
 * A client's request as received, with the authenticators of the client's hop.
 * @param requiredServer holds the request's conversation; null if any server may answer it
 * @param retransmissionWindowMicros for how long the packet is retransmitted to a server at most
 * @param transmitUntilMicros until when any packet may leave: limited for a new try of a request that may have run
 * @param lateResponseListener is given a response that arrives after the attempt was given up; null if it is of no use
 */
record RadiusRequestMessage(Packet request, Authenticators authenticators, ServerInstance requiredServer,
        long retransmissionWindowMicros, long transmitUntilMicros, Consumer<RadiusResponseMessage> lateResponseListener)
        implements RequestMessage {

    @Override
    public void release() { }
}

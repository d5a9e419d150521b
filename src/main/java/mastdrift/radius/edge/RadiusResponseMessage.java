package mastdrift.radius.edge;

import java.util.List;
import mastdrift.engine.Answer;
import mastdrift.radius.Attribute;
import mastdrift.radius.Code;
import mastdrift.radius.HiddenAttributes;

/** A server's answer, proved, without the gateway's Proxy-State and Message-Authenticator; what is hidden in it is hidden for
    this hop; {@code uid} is the server's. */
record RadiusResponseMessage(String uid, Code code, List<Attribute> attributes, HiddenAttributes.Hop hop) implements Answer { }

package mastdrift.radius.edge;

import java.util.List;
import mastdrift.engine.ResponseMessage;
import mastdrift.radius.Attribute;
import mastdrift.radius.Code;
import mastdrift.radius.HiddenAttributes;
import mastdrift.radius.ServerInstance;

/**
 * A verified response from {@code server}, without the gateway's own Proxy-State and without
 * Message-Authenticator. Its hidden attributes are still encrypted for {@code hop}.
 */
record RadiusResponseMessage(ServerInstance server, Code code, List<Attribute> attributes,
        HiddenAttributes.Hop hop) implements ResponseMessage { }

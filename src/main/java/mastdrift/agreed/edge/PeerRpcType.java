package mastdrift.agreed.edge;

import org.apache.ratis.conf.Parameters;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.ServerFactory;

/** Names the gateways' own links as the transport of the Raft library, which makes it by its class's name. */
public final class PeerRpcType implements RpcType {

    static final String ENDPOINT = "mastdrift.rpc";

    /** For the library. */
    public PeerRpcType() { }

    @Override
    public String name() {
        return PeerRpcType.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        RpcEndpoint rpc = parameters.getNonNull(ENDPOINT, RpcEndpoint.class);
        return new ServerFactory() {
            @Override
            public RaftServerRpc newRaftServerRpc(RaftServer server) {
                return new PeerRpc(rpc);
            }

            @Override
            public RpcType getRpcType() {
                return PeerRpcType.this;
            }
        };
    }
}

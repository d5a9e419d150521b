package mastdrift.agreed.edge;

import org.apache.ratis.conf.Parameters;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.ServerFactory;

/** Makes {@link PeerRpc} the transport of the Raft library, which instantiates this type by its class name. */
public final class PeerRpcType implements RpcType {

    static final String ENDPOINT_PARAMETER = "mastdrift.rpc";

    /** Called by the library. */
    public PeerRpcType() { }

    @Override
    public String name() {
        return PeerRpcType.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        RpcEndpoint endpoint = parameters.getNonNull(ENDPOINT_PARAMETER, RpcEndpoint.class);
        return new ServerFactory() {
            @Override
            public RaftServerRpc newRaftServerRpc(RaftServer server) {
                return new PeerRpc(endpoint);
            }

            @Override
            public RpcType getRpcType() {
                return PeerRpcType.this;
            }
        };
    }
}

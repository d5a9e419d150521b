/** The soak: the platform's gateways as processes of their own, ends, signals and holds between them, a registry and servers in trouble, clients of every class, idle crowds;
    what clients, servers and the registry recorded is judged afterwards by {@link mastdrift.lab.soak.SoakOracle}, which knows the rules alone and nothing of the gateway. What a
    run draws is fixed by its seed ahead of the run. Everything is on loopback; only processes that the soak started are signalled, and they end with it. */
package mastdrift.lab.soak;

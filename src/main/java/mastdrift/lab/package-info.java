/** Experiments: what a file says is played by the model or over loopback, for several arms and seeds, and judged by the limits
    that the file states. It starts gateways as they are in service and changes nothing in them. */
package mastdrift.lab;

/** What a gateway has to say to its operators, as events with stable names; whoever composes it decides where they go. */
package mastdrift.events;

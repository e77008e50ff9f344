/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

/**
 * The registration of a box in the store, bound to its lease.
 *
 * @param box the box id
 * @param peerAddress the address at which peers reach the box
 * @param leaving whether the box is in a planned shutdown
 */
public record MemberRecord(String box, String peerAddress, boolean leaving)
{
}

/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import org.gaugehollow.model.AssignmentMap;

/**
 * Identifies this box process.
 *
 * @param name the configured box name
 * @param id the name with a suffix that is unique to this process, which tells a restarted box from
 *            its predecessor
 * @param hall the data hall
 * @param peerAddress the address at which peers reach this box
 */
public record BoxIdentity(String name, String id, String hall, String peerAddress)
{
    /** @return the entry of this box in the assignment map */
    public AssignmentMap.Member toMember()
    {
        return new AssignmentMap.Member(id, peerAddress);
    }
}

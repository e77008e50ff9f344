/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.config.ConfigDelta;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.peer.generated.PeerProtocol;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.StateReply;

import com.google.protobuf.ByteString;

/** Converts configuration and store contacts from and to peer messages. */
public final class StateMessages
{
    private StateMessages()
    {
    }

    /**
     * @param status the status of a peer
     * @return the newest store contact known to the peer
     */
    public static StoreLiveness.Contact contactOf(BoxStatus status)
    {
        return new StoreLiveness.Contact(status.getStoreEvidenceBox(), status.getStoreEvidenceNumber(),
                status.getStoreEvidenceAgeMillis());
    }

    /**
     * @param reply the reply of a peer
     * @return the configuration delta in it
     */
    public static ConfigDelta deltaOf(StateReply reply)
    {
        List<ConfigEntry> entries = new ArrayList<>();
        for (PeerProtocol.ConfigEntry entry : reply.getConfigList())
        {
            entries.add(new ConfigEntry(entry.getName(), entry.getRevision(),
                    entry.getEnvelope().toByteArray(), entry.getDeleted()));
        }
        return new ConfigDelta(reply.getConfigRevision(), reply.getConfigFull(), entries);
    }

    /**
     * @param delta a configuration delta
     * @return a reply builder that contains the delta
     */
    public static StateReply.Builder replyOf(ConfigDelta delta)
    {
        StateReply.Builder reply = StateReply.newBuilder().setConfigRevision(delta.revision())
                .setConfigFull(delta.full());
        for (ConfigEntry entry : delta.entries())
        {
            reply.addConfig(
                    PeerProtocol.ConfigEntry.newBuilder().setName(entry.name()).setRevision(entry.revision())
                            .setEnvelope(ByteString.copyFrom(entry.envelope())).setDeleted(entry.deleted()));
        }
        return reply;
    }
}

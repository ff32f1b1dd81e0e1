Feature: An accepted configuration becomes active everywhere and is never reverted

  Scenario: Two operators change two contracts at once
    Both changes are based on the same revision. If the second one simply
    replaced the whole configuration, the first change would be lost silently.
    When two operators change two contracts at once
    Then both changes are accepted and active at every entry

  Scenario: An operator's folder is behind the active configuration
    Another operator's change was accepted after this folder was checked out.
    Applying the whole folder must not revert that change.
    When a second operator applies a folder that lacks the first one's change
    Then both changes are accepted and active at every entry

  Scenario: Two operators change the same contract at once
    Only one of the changes can become active. The refusal of the other must
    name the contract that both changed.
    When two operators change the same contract at once
    Then one is accepted, and the refusal of the other names the contract

  Scenario: Two changes that are right alone and wrong together
    Each change raises a contract by no more than the pool has left. Both
    together exceed the pool.
    When two operators each use up the rest of the pool's concurrency
    Then one is accepted, and the refusal of the other names the pool's limit

  Scenario: The platform's answers to an apply are lost
    The change took effect. The operator's command must neither fail nor make
    the change a second time.
    When an operator applies a change while the platform's answers are lost
    Then the revision rose by one and the change is active at every entry

  Scenario: An entry that can't reach the platform
    A change is accepted while one entry has no connection to the platform. The
    entry learns the new revision from its peers.
    When a new entry starts that can't reach the platform, and a change is applied
    Then the change is active at that entry too

  Scenario: The platform serves a stale read
    A restarted entry reads an old revision from the platform. Its peers know a
    later one and must not revert to the old one.
    When a change is applied and an entry starts while reads are stale
    Then every entry's revisions only rise, up to the latest

  Scenario: An entry starts beside a stale peer while the platform is unavailable
    The only seed of the new entry is a peer that was frozen before the latest
    change. The new entry must nevertheless reach the latest revision.
    When an entry starts during an outage with a stale peer as its seed
    Then every entry's revisions only rise, up to the latest

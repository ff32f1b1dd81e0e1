Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators change two contracts at once
    Both were written on the same revision. If the second just replaced the
    set, the first's change would be gone without a word.
    When two operators change two contracts at once
    Then both changes are accepted and in force everywhere

  Scenario: An operator's folder is behind
    Another operator's change was accepted since the folder was checked out.
    Applying the whole folder must not take that change back.
    When a second operator applies a folder that is behind the first's change
    Then both changes are accepted and in force everywhere

  Scenario: Two operators change the same contract at once
    Only one can be in force, and the other must be told whose it met.
    When two operators change the same contract at once
    Then one is accepted, and the other is refused with the contract named

  Scenario: Two changes that are right alone and wrong together
    Each raises a contract within what the pool has left, and both together
    exceed the pool.
    When two operators each take the rest of the pool's concurrency
    Then one is accepted, and the other is refused with the pool's limit named

  Scenario: The platform's answers to an apply are lost
    The change took effect and the operator's tool must neither fail nor make
    it twice.
    When an operator applies a change while the platform loses its answers
    Then the revision rose by one and the change is in force everywhere

  Scenario: An entry that can't reach the platform
    A change is accepted; one entry's way to the platform is gone. It learns
    the revision from its peers.
    When a new entry starts that can't reach the platform, and a change is applied
    Then the change is in force at that entry too

  Scenario: The platform serves an old read
    An entry starts anew and reads an old revision; the others know a later one
    and must not go back to it.
    When a change is applied and an entry starts while reads are old
    Then every entry's revisions rise, to the latest

  Scenario: An entry starts beside a stale peer while the platform is away
    A peer was frozen before the latest change, and is the first that the new
    entry hears of. The new entry must come to the latest change all the same.
    When an entry starts during an outage with a stale peer as its seed
    Then every entry's revisions rise, to the latest

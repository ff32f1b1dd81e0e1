Feature: The system keeps its own limits

  Scenario: Entries die and join under a rush
    A customer sends more than its contract allows, over all entries, while
    entries are killed and started anew. If a dead entry's slice were given out
    before its streams ended, the engine would see more than the contract.
    When training sends without end while entries are killed and replaced
    Then the engine never ran more than 8 of its prompts at once
    And the account comes back to the full use of its contract

  Scenario: Callers leave while others wait
    Callers give up in the middle of their answers, and others of the account
    have waited for their slots. An engine that had not yet noticed would run
    the answers of both.
    When callers of training leave before their answers are whole
    Then the engine never ran more than 8 of its prompts at once

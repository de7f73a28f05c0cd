use tealturn::gateway::{freshness::Documents, store::Era};

/// A store that came back from an older copy must not confirm a document older than the active one.
#[test]
fn only_a_store_that_has_the_latest_document_confirms_it() {
    let documents = Documents::default();
    documents.enter(Era(0));
    assert!(!documents.is_latest_stored(), "there is none");
    documents.stored(Era(0), 5);
    assert!(documents.is_latest_stored());
    documents.stored(Era(0), 4);
    assert!(documents.is_latest_stored(), "versions only rise within an era");
    documents.enter(Era(1));
    assert!(!documents.is_latest_stored(), "the store has none");
    documents.stored(Era(1), 4);
    assert!(!documents.is_latest_stored(), "the store has an older one");
    documents.enter(Era(1));
    documents.stored(Era(0), 5);
    assert!(!documents.is_latest_stored(), "read before the store lost it");
    documents.stored(Era(1), 5);
    assert!(documents.is_latest_stored());
    documents.learn(Some(6));
    assert!(!documents.is_latest_stored(), "another daemon has a later one");
    documents.stored(Era(1), 7);
    assert!(documents.is_latest_stored());
    assert_eq!(documents.known(), Some(7));
}
